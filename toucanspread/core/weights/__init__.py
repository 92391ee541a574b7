"""How engines are brought onto a version of their weights."""
