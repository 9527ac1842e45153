// Command goldlab.
package main

func main() {}
