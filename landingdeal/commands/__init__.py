"""The command line: `landingdeal COMMAND`. Exit codes: 0 success, 1 problems found, 2 could not run."""
