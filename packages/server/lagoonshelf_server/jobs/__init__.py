"""Server process for multi-step jobs: job API, cell leader, and the ports of both."""
