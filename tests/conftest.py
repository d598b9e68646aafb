"""Configure Hypothesis so that every run gives the same result, except in `make fuzz`."""

import os

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
# The seed comes from the command line of `ibiswick-load fuzz`; derandomized tests would ignore it.
settings.register_profile("fuzz", settings.get_profile("ci"), derandomize=False)
settings.load_profile("fuzz" if "IBISWICK_FUZZ_SEED" in os.environ else "ci")
