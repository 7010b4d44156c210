"""Stand-ins of the platform, its servers and its clients for the cases of the review.

They use the standard library only, so that a case needs nothing but the build of the
deploy file.
"""
