"""The way of a request: receive, authenticate, admit, claim, place, forward,
relay, settle.
"""
