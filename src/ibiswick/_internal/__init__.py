"""Contain the implementation; nothing here is a public interface."""
