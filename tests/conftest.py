"""Makes Hypothesis runs reproducible."""

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, print_blob=True
)
hypothesis.settings.load_profile("ci")
