"""The command line, the reports and the benchmarks."""
