"""What a node keeps over a restart: rows and their validation, and what is written when."""
