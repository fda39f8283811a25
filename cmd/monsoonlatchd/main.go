// Command monsoonlatchd is the node that runs beside a backend server.
package main

func main() {}
