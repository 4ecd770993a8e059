"""Data centres that an operator has evacuated: pure state, no I/O.

An order is in force from the change that sets its key until the change that
removes it, or until a complete listing of the store in which it is missing.
"""


class Evacuations:
    """The orders in force, by data centre."""

    def __init__(self) -> None:
        """Hold the orders with the revisions that set them, at first none."""
        self.orders: dict[str, int] = {}
        self.unlisted: set[str] = set()

    def order(self, data_center: str, revision: int) -> bool:
        """Put an order in force, or keep one that is listed or set again.

        :param revision: revision of the store that set it
        :return: whether it is a new order
        """
        is_new = data_center not in self.orders
        self.orders[data_center] = revision
        self.unlisted.discard(data_center)
        return is_new

    def end(self, data_center: str) -> bool:
        """End an order; return whether it was in force."""
        return self.orders.pop(data_center, None) is not None

    def begin_listing(self) -> None:
        """Expect all orders in the listing that begins.

        They stay in force until it has ended, so that no request is sent to a
        data centre while its order is read again.
        """
        self.unlisted = set(self.orders)

    def take_unlisted(self) -> tuple[str, ...]:
        """Return the data centres whose orders the last listing lacks."""
        unlisted = tuple(sorted(self.unlisted))
        self.unlisted.clear()
        return unlisted
