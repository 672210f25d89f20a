"""Service discovery: a watcher for each source of endpoints, and the merge of their lists into one view."""
