"""A change of program or settings that reaches a fleet in stages, compared as it goes, stopped and put
back. The plan, the judge and the coordinator are pure; drivers round them speak to doors and start
processes."""
