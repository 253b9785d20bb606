// Command cicadacrossd is the daemon that runs on each upstream host.
package main

func main() {}
