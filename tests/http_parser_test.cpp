// Tests the parsers of HTTP heads, bodies, event streams, forms and XML with complete, truncated and
// malformed input. The parsers of network input must give the same result wherever the received data is
// split.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "format/http/event_stream.h"
#include "format/http/http.h"
#include "format/http/xml.h"

#include <string>
#include <vector>

using namespace myrtlehead;
using namespace std::string_literals;

// Parses `head` and then the body `in`, which arrives in two pieces split at offset `cut`. Appends the body's
// content to `content`.
static http::ParseStatus parseBody(const std::string &head, const std::string &in, std::size_t cut,
                                   std::string &content) {
  http::Head parsedHead;
  std::size_t size = 0;
  REQUIRE(http::parseResponse(head, parsedHead, size) == http::ParseStatus::complete);
  REQUIRE(size == head.size());
  http::BodyDecoder body(parsedHead);
  std::string pending;
  auto parsed = http::ParseStatus::incomplete;
  for (const auto &piece : {in.substr(0, cut), in.substr(cut)}) {
    pending += piece;
    std::size_t used = 0;
    if (parsed == http::ParseStatus::incomplete) parsed = body.decode(pending, content, used);
    pending.erase(0, used);
  }
  return parsed;
}

TEST_CASE("heads and bodies are parsed when the input is split at any byte") {
  const auto head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y \r\n\r\n"s;
  http::Head h;
  std::size_t size = 0;
  for (std::size_t n = 0; n < head.size(); ++n)
    REQUIRE(http::parseResponse(std::string_view(head).substr(0, n), h, size) ==
            http::ParseStatus::incomplete);
  const auto chunks = "5;x=1\r\nhello\r\n3\r\n, w\r\n0\r\nT: 1\r\n\r\n"s;
  for (std::size_t cut = 0; cut <= chunks.size(); ++cut) {
    std::string content;
    REQUIRE(parseBody(head, chunks, cut, content) == http::ParseStatus::complete);
    REQUIRE(content == "hello, w");
  }
  std::string content;
  REQUIRE(parseBody("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "abcd", 2, content) ==
          http::ParseStatus::complete);
  REQUIRE(content == "abc");
  for (const auto *malformed : {"zz\r\n", "-1\r\n", "ffffffffffffffffff\r\n", "1\r\nab\r\n"})
    REQUIRE(parseBody(head, malformed, 1, content) == http::ParseStatus::malformed);
  REQUIRE(parseBody("HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n", "x", 0, content) ==
          http::ParseStatus::malformed);
  for (const auto *malformed :
       {"HTTP/2 200 OK\r\n\r\n", "HTTP/1.1 abc\r\n\r\n", "HTTP/1.1 200 OK\r\nnocolon\r\n\r\n", "\r\n\r\n"})
    REQUIRE(http::parseResponse(malformed, h, size) == http::ParseStatus::malformed);
  REQUIRE(http::parseResponse(std::string(20'000, 'x'), h, size) == http::ParseStatus::malformed);
  REQUIRE(http::parseRequest("POST /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n", h, size) ==
          http::ParseStatus::complete);
  REQUIRE(h.method == "POST");
  REQUIRE(h.target == "/a?b=c");
  REQUIRE(h.field("host") == "x");
}

TEST_CASE("an event stream is parsed when the input is split at any byte") {
  const auto stream = ":\n\nevent: stage\r\ndata: build=42\ndata: &x=1\n\nid: 7\n\nevent:flag\ndata:a\n\n"s;
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    std::vector<http::Event> events;
    std::string text;
    for (const auto &piece : {stream.substr(0, cut), stream.substr(cut)}) {
      text += piece;
      http::Event e;
      while (http::takeEvent(text, e) == http::EventStatus::event) events.push_back(e);
    }
    REQUIRE(events.size() == 2);
    REQUIRE(events[0].name == "stage");
    REQUIRE(events[0].data == "build=42\n&x=1");
    REQUIRE(events[1].name == "flag");
    REQUIRE(events[1].data == "a");
    REQUIRE(text.empty());
  }
  http::Event e;
  auto invalidField = "event: stage\n\x91%~\ndata: a\n\n"s,
       oversizedEvent = "data: "s + std::string(80'000, 'x');
  REQUIRE(http::takeEvent(invalidField, e) == http::EventStatus::malformed);
  REQUIRE(http::takeEvent(oversizedEvent, e) == http::EventStatus::malformed);
}

TEST_CASE("forms and XML are parsed strictly") {
  http::Fields f;
  REQUIRE(http::parseForm("a=1&b=x%20y+z&c=", f));
  REQUIRE(http::value(f, "b") == "x y z");
  REQUIRE(http::value(f, "c") == "");
  REQUIRE(http::writeForm({{"a b", "c&d"}}) == "a%20b=c%26d");
  for (const auto *malformed : {"a", "=1", "a=%g1", "a=%1", "a=1&&b=2"})
    REQUIRE(!http::parseForm(malformed, f));
  http::Fields x;
  REQUIRE(http::parseXml("<?xml version=\"1.0\"?>\n<R><e a=\"1\"><b>4&lt;2</b><c/></e></R>", x));
  REQUIRE(http::value(x, "b") == "4<2");
  REQUIRE(x.size() == 2);
  for (const auto *malformed :
       {"", "<a>", "<a></b>", "</a>", "<a>&x;</a>", "<a", "<>", "<a></a><b></b>", "text"})
    REQUIRE(!http::parseXml(malformed, x));
}
