"""Keys of bounded size for names that callers choose.

Tables, logs and messages between processes hold these keys. The names go to
backend servers only, as they were received. See docs/design/opaque-keys.md.
"""

from __future__ import annotations

import hashlib
import re

__all__ = ["to_key", "to_model_key"]

# A short name of printable ASCII characters is its own key, which operators
# recognize. `~` begins the keys of all other names.
_PLAIN = re.compile(r"[!-}]{1,64}")
_DIGEST_BYTES = 16
# Longest name of a model in a configuration.
_MAX_MODEL_CHARS = 256


def to_key(name: str) -> str:
    """Returns what stands for a name: at most 64 printable ASCII characters.

    Nobody can choose two names with one key: the digest has 128 bits.

    Args:
        name: The name; surrogate escapes stand for bytes that are not UTF-8.
    """
    if _PLAIN.fullmatch(name) or not name:
        return name
    data = name.encode(errors="surrogatepass")
    return "~" + hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


def to_model_key(name: str) -> str:
    """Returns the name of a model that can be configured, or a key for it."""
    if len(name) <= _MAX_MODEL_CHARS and name.isprintable():
        return name
    return to_key(name)
