// Command cicadacross is the operator's command.
package main

func main() {}
