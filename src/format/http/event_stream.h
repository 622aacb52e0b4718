// Streams of lines and of events (server-sent events), taken off the front of a text that grows.
#pragma once

#include <string>

namespace myrtlehead::http {

struct Event {
  std::string name; // "" where it names none
  std::string data; // its lines joined by '\n'
};

// none: no event is there in full; unreadable: a line that no event stream has, or an event that does not
// end.
enum class EventStatus { incomplete, event, malformed };
// Takes the first event that has data.
EventStatus takeEvent(std::string &text, Event &out);

// Takes one line, without its end; false: none is there in full.
bool takeLine(std::string &text, std::string &line);

} // namespace myrtlehead::http
