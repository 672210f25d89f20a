"""Where the endpoint list comes from: the watchers of each source and the merge of what they report."""
