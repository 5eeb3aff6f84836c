"""``python -m magpieshift``: one edge router, told by its environment."""

import sys

from magpieshift.app import main

sys.exit(main())
