"""Tests that the generated pages are up to date."""

from nose2.tools import params

from docs.generate import DOCS, PAGES


@params(*PAGES)
def test_generated_page_is_up_to_date(name, page):
    """A page in the repository equals the output of its generator."""
    assert (DOCS / name).read_text(encoding='utf-8') == page()
