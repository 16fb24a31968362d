"""Model check of the claims by spin; a seeded mistake in the model has to be found."""

import os
import shutil
import subprocess
import tempfile

import fleet as f
from run_all import table


def errors_of(mistake):
    """Returns the number of errors that spin finds in the model."""
    directory = tempfile.mkdtemp(prefix="limpet-")
    try:
        model = os.path.join(f.ROOT, "model", "claims.pml")
        subprocess.run(["spin", "-a", "-DMISTAKE=%d" % mistake, model], cwd=directory, check=True,
                       capture_output=True)
        subprocess.run(["gcc", "-O2", "-DSAFETY", "-DMEMLIM=4096", "-o", "pan", "pan.c"],
                       cwd=directory, check=True, capture_output=True)
        out = subprocess.run(["./pan", "-m100000"], cwd=directory, capture_output=True,
                             text=True).stdout
        assert "Search not completed" not in out or mistake, out
        return int(out.split("errors: ")[1].split()[0])
    finally:
        shutil.rmtree(directory)


def test_claims_hold():
    assert errors_of(0) == 0


@table([("acts_without_reading_back", 1), ("takes_a_claim_over", 2), ("runs_after_its_promise", 3)])
def test_a_seeded_mistake_is_found(mistake):
    assert errors_of(mistake) > 0
