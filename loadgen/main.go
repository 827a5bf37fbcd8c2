// Command loadgen is part of bluebellhoist.
package main

func main() {}
