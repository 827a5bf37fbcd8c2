// Command standin is part of bluebellhoist.
package main

func main() {}
