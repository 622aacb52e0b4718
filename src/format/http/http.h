// HTTP/1.1 as far as it is used here: heads and bodies read from bytes, requests written to them, and what
// bodies hold (forms, event streams, XML elements). No sockets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace myrtlehead::http {

enum class Parsed { more, whole, bad };

struct Head {
  std::string method, target;                              // of a request
  int status = 0;                                          // of an answer
  std::vector<std::pair<std::string, std::string>> fields; // names in lower case
  std::string_view field(std::string_view name) const;
};
// `size`: what the head takes, its blank line included.
Parsed parseRequest(std::string_view in, Head &out, std::size_t &size);
Parsed parseAnswer(std::string_view in, Head &out, std::size_t &size);

// The body behind a head: by its length, in chunks, or up to the connection's end.
class Body {
public:
  explicit Body(const Head &head, bool request = false);
  Body() = default;
  // Takes what it can off the front of `in`, appends the content; `used`: how much was taken.
  Parsed take(std::string_view in, std::string &content, std::size_t &used);
  bool untilEnd() const { return form_ == toEnd; }

private:
  Parsed chunkLine(std::string_view in, std::size_t &used);
  enum Form { length, chunked, toEnd, broken } form_ = length;
  enum Place { sizeLine, data, dataEnd, trailer } place_ = sizeLine;
  std::uint64_t left_ = 0;
};

using Fields = std::vector<std::pair<std::string, std::string>>;
std::string_view value(const Fields &fields, std::string_view name);
bool parseForm(std::string_view text, Fields &out); // a=b&c=d, percent-encoded
std::string writeForm(const Fields &fields);

// One event of an event stream, taken off the front of `text`. unreadable: a line that no event stream has,
// or one that does not end.
struct Event {
  std::string name, data;
};
enum class Taken { none, event, unreadable };
Taken takeEvent(std::string &text, Event &out);

// A line taken off the front of `text`, without its end; false: none is whole yet.
bool takeLine(std::string &text, std::string &line);

// Every element that holds text alone, in the order of the document. False: not well-formed.
bool parseXml(std::string_view text, Fields &leaves);

std::string writeRequest(std::string_view method, std::string_view target, std::string_view host,
                         std::string_view form = {});

} // namespace myrtlehead::http
