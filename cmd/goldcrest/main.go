// Command goldcrest.
package main

func main() {}
