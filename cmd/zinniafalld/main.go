// Command zinniafalld is the node that runs beside one target.
package main

func main() {}
