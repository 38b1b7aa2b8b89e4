// Command zinniafall is the operators' command.
package main

func main() {}
