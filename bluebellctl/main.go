// Command bluebellctl is part of bluebellhoist.
package main

func main() {}
