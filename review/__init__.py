"""Cases of the independent review of issue 67; no part of the product or its tests."""
