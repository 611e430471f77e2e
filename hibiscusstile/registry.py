"""Registry that maps names to classes, filled by a decorator."""

from __future__ import annotations

import importlib
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Generic, TypeVar

__all__ = ["NameNotFound", "Registry"]

_T = TypeVar("_T")
_C = TypeVar("_C", bound=type[Any])


class NameNotFound(LookupError):  # noqa: N818 - an expected lookup result
    """No registered class has the requested name or alias."""


class Registry(Generic[_T]):
    """Maps the `name` and `aliases` of classes to the classes.

    Args:
        family: What the classes are, such as "policy"; named in errors.
        not_found: Exception type raised for an unknown name.
        modules: Modules that register classes. Lookups import them, so that
            until then a process can use the base class without the
            libraries of the registered classes.
    """

    def __init__(
        self,
        family: str,
        not_found: type[NameNotFound] = NameNotFound,
        modules: Sequence[str] = (),
    ) -> None:
        self._family = family
        self._not_found = not_found
        self._unloaded_modules = list(modules)
        self._classes: dict[str, type[_T]] = {}
        self._names: list[str] = []

    @property
    def names(self) -> tuple[str, ...]:
        """Primary names, in order of registration."""
        self._import_all_modules()
        return tuple(self._names)

    def register(self) -> Callable[[_C], _C]:
        """Returns a class decorator that registers the class.

        Raises:
            ValueError: A name or alias is already registered.
        """

        def decorate(cls: _C) -> _C:
            for name in (cls.name, *cls.aliases):
                if name in self._classes:
                    raise ValueError(
                        f"{self._family} {name!r} is registered twice"
                    )
                self._classes[name] = cls
            self._names.append(cls.name)
            return cls

        return decorate

    def get_by_name(self, name: str) -> type[_T]:
        """Returns the class registered under a name or alias.

        Raises:
            NameNotFound: No class has this name or alias. The exception is of
                the type `not_found` that the constructor received.
        """
        self._import_module_named(name)
        if name not in self._classes:
            self._import_all_modules()
        try:
            return self._classes[name]
        except KeyError:
            known_names = ", ".join(sorted(self._names)) or "none"
            raise self._not_found(
                f"unknown {self._family} {name!r} (known: {known_names})"
            ) from None

    def __iter__(self) -> Iterator[type[_T]]:
        self._import_all_modules()
        return (self._classes[name] for name in self._names)

    def _import_all_modules(self) -> None:
        while self._unloaded_modules:
            self._import_module(self._unloaded_modules[-1])

    def _import_module_named(self, name: str) -> None:
        """Imports only the module named like the class, if there is one.

        A process that needs one class of a family starts faster without the
        libraries of the others.
        """
        for module in self._unloaded_modules:
            if module.rpartition(".")[2] == name:
                self._import_module(module)
                return

    def _import_module(self, module: str) -> None:
        importlib.import_module(module)
        # Only after a successful import: the next lookup repeats a failed one
        # and raises its error again. A lookup made during the import may
        # already have removed the module.
        if module in self._unloaded_modules:
            self._unloaded_modules.remove(module)
