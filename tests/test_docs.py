"""The pages made from the code are up to date."""

from nose2.tools import params

from docs.generate import DOCS, PAGES


@params(*PAGES)
def test_page_equals_the_code(name, page):
    """A page in the repository is what the code would write now."""
    assert (DOCS / name).read_text(encoding='utf-8') == page()
