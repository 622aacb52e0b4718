#include "format/http/event_stream.h"

#include <algorithm>

namespace myrtlehead::http {

namespace {

constexpr std::size_t kMaxEventBytes = 64 * 1024;

// Returns true if `text` contains the blank line that ends its first event.
bool hasCompleteEvent(const std::string &text) {
  for (std::size_t lineStart = 0;;) {
    const auto lineEnd = text.find('\n', lineStart);
    if (lineEnd == std::string::npos) return false;
    const auto size = lineEnd - lineStart;
    if (size == 0 || (size == 1 && text[lineStart] == '\r')) return true;
    lineStart = lineEnd + 1;
  }
}

struct Line {
  std::string name;
  std::string value;
};

// Parses "name: value". A comment line starts with a colon and has an empty name.
Line parseLine(const std::string &text) {
  const auto colon = std::min(text.find(':'), text.size());
  Line out{text.substr(0, colon), text.substr(std::min(colon + 1, text.size()))};
  if (!out.value.empty() && out.value[0] == ' ') out.value.erase(0, 1);
  return out;
}

bool isKnownName(const std::string &name) {
  return name.empty() || name == "event" || name == "data" || name == "id" || name == "retry";
}

} // namespace

bool takeLine(std::string &text, std::string &line) {
  const auto end = text.find('\n');
  if (end == std::string::npos) return false;
  line.assign(text, 0, end > 0 && text[end - 1] == '\r' ? end - 1 : end);
  text.erase(0, end + 1);
  return true;
}

EventStatus takeEvent(std::string &text, Event &out) {
  for (;;) {
    if (!hasCompleteEvent(text))
      return text.size() > kMaxEventBytes ? EventStatus::malformed : EventStatus::incomplete;
    out = {};
    std::string lineText;
    bool hasData = false;
    while (takeLine(text, lineText) && !lineText.empty()) {
      const auto line = parseLine(lineText);
      if (!isKnownName(line.name)) return EventStatus::malformed;
      if (line.name == "event") out.name = line.value;
      if (line.name != "data") continue;
      if (hasData) out.data += '\n';
      out.data += line.value;
      hasData = true;
    }
    if (hasData) return EventStatus::event; // an event without data is ignored, as the specification requires
  }
}

} // namespace myrtlehead::http
