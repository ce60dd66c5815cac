"""Adapters between the users' platform and the product.

The platform's names are decoded into the product's types here and nowhere else.
"""
