"""Translation between the users' platform and the product, nothing else.

The platform's names are decoded here, once, into the product's types.
"""
