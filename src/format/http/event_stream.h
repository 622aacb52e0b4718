// Incremental parsers for streams of lines and of server-sent events. They remove complete items from the
// front of a receive buffer.
#pragma once

#include <string>

namespace myrtlehead::http {

struct Event {
  std::string name; // "" if the event has no name
  std::string data; // data lines joined by '\n'
};

// incomplete: the buffer holds no complete event. malformed: a line has an unknown field name, or an
// incomplete event exceeds 64 KiB.
enum class EventStatus { incomplete, event, malformed };
// Removes events from the front of `text` up to the first one with data, and stores that event in `out`.
EventStatus takeEvent(std::string &text, Event &out);

// Removes one line from the front of `text` and stores it in `line` without its line ending. Returns false if
// `text` holds no complete line.
bool takeLine(std::string &text, std::string &line);

} // namespace myrtlehead::http
