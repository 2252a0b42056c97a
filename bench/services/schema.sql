CREATE TABLE entries (
    id INTEGER PRIMARY KEY AUTOINCREMENT,
    key TEXT NOT NULL,
    caller TEXT NOT NULL
);
CREATE INDEX entries_by_caller ON entries (caller, id);
