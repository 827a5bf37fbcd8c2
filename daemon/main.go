// Command daemon is part of bluebellhoist.
package main

func main() {}
