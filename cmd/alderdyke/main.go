// Command alderdyke routes requests between callers and separate prefill and
// decode pools of language-model engines. See "alderdyke --help".
package main

func main() {}
