//! The control program: replicated settings, claims, fences and membership digests.
