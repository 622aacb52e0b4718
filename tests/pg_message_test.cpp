// Tests the PostgreSQL message parsers with complete, truncated and malformed messages.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fixtures.h"
#include "format/pg/message.h"

using namespace myrtlehead;
using namespace std::string_literals;

TEST_CASE("a message is parsed only when it is complete") {
  std::string in;
  pg::addQuery(in, "SELECT 1");
  pg::Message message;
  for (std::size_t n = 0; n < in.size(); ++n)
    REQUIRE(pg::parseMessage(std::string_view(in).substr(0, n), message) == pg::ParseStatus::incomplete);
  const auto size = in.size();
  in += 'Z';
  REQUIRE(pg::parseMessage(in, message) == pg::ParseStatus::complete);
  REQUIRE(message.type == 'Q');
  REQUIRE(message.body == "SELECT 1\0"s);
  REQUIRE(message.size == size);
  // The length is smaller than the length field, negative, or above the limit.
  REQUIRE(pg::parseMessage("Q\0\0\0\3"s, message) == pg::ParseStatus::malformed);
  REQUIRE(pg::parseMessage("Q\xff\xff\xff\xff"s, message) == pg::ParseStatus::malformed);
  REQUIRE(pg::parseMessage("Q\x7f\0\0\0"s, message) == pg::ParseStatus::malformed);
}

TEST_CASE("the kind of a connection's first packet follows from its version or request code") {
  std::string in;
  pg::addStartup(in, "svc", "main");
  pg::Startup s;
  for (std::size_t n = 0; n < in.size(); ++n)
    REQUIRE(pg::parseStartup(std::string_view(in).substr(0, n), s) == pg::ParseStatus::incomplete);
  REQUIRE(pg::parseStartup(in, s) == pg::ParseStatus::complete);
  REQUIRE(s.kind == pg::FirstPacketKind::startup);
  REQUIRE(s.minor == 0);
  REQUIRE(s.size == in.size());
  const auto kind = [](const std::string &text) {
    pg::Startup out;
    return pg::parseStartup(text, out) == pg::ParseStatus::complete ? out.kind : pg::FirstPacketKind::unknown;
  };
  REQUIRE(kind("\0\0\0\10\4\xd2\x16\x2f"s) == pg::FirstPacketKind::encryptionRequest);
  REQUIRE(kind("\0\0\0\10\4\xd2\x16\x30"s) == pg::FirstPacketKind::encryptionRequest); // GSSAPI
  REQUIRE(kind("\0\0\0\20\4\xd2\x16\x2e\0\0\0\1\0\0\0\2"s) == pg::FirstPacketKind::cancelRequest);
  REQUIRE(kind("\0\0\0\10\0\2\0\0"s) == pg::FirstPacketKind::unknown);
  REQUIRE(pg::parseStartup("GET / HT", s) == pg::ParseStatus::malformed);
  REQUIRE(pg::parseStartup("\0\0\0\0\0\0\0\0"s, s) == pg::ParseStatus::malformed);
}

TEST_CASE("an ErrorResponse carries its SQLSTATE") {
  std::string out;
  pg::addError(out, {"ERROR", "53300", "too busy", "120"});
  pg::Message message;
  REQUIRE(pg::parseMessage(out, message) == pg::ParseStatus::complete);
  REQUIRE(message.type == 'E');
  REQUIRE(pg::errorCode(message.body) == "53300");
  REQUIRE(message.body.find("D120"s) != std::string_view::npos);
  REQUIRE(pg::errorCode("") == "");
  REQUIRE(pg::errorCode("C53") == "");
  REQUIRE(pg::errorCode("\0"s) == "");
}

// The input is truncated at every byte. An invalid or out-of-order message is rejected as soon as the
// received bytes show it.
TEST_CASE("reply messages are accepted only in the order of the protocol") {
  const auto row = ScriptedServer::rowAnswer("value", "util=1");
  const auto kindsOf = [](std::string_view in) {
    std::string out;
    pg::ReplyValidator reply;
    pg::Message message;
    for (;;) {
      const auto kind = reply.next(in, message);
      out += "-atdcezi!"[kind];
      if (kind == pg::ReplyValidator::incomplete || kind == pg::ReplyValidator::unexpected) return out;
      in.remove_prefix(message.size);
    }
  };
  REQUIRE(kindsOf(row) == "tdcaz-");
  for (std::size_t n = 0; n < row.size(); ++n) REQUIRE(kindsOf(row.substr(0, n)).back() == '-');
  std::string error, wide, none, twice;
  pg::addError(error, {"ERROR", "XX000", "no"});
  REQUIRE(kindsOf(error) == "e-");
  REQUIRE(kindsOf(row + row) == "tdcaztdcaz-");
  const auto at = row.find('D'), end = row.find('C', at);
  REQUIRE(kindsOf(row.substr(0, end) + row.substr(at)) == "td!"); // two rows
  REQUIRE(kindsOf(row.substr(at)) == "!");
  REQUIRE(kindsOf(row.substr(0, at) + row.substr(end)) == "t!"); // no DataRow
  REQUIRE(kindsOf("D") == "!");
  REQUIRE(kindsOf("HTTP/1.1 200") == "!");
  REQUIRE(kindsOf("Z\0\0\0\5I"s) == "!");
  REQUIRE(kindsOf(row.substr(0, at) + "D\xb2\xd0\x5e\0"s) == "t!"); // 3 GB, rejected by its header
  auto corrupted = row;
  corrupted[at + 10] ^= 1; // corrupts the value length
  REQUIRE(kindsOf(corrupted) == "t!");
  REQUIRE(kindsOf("E\0\0\0\6ab"s) == "!");
  REQUIRE(kindsOf("E\0\0\0\5\0"s) == "!");
  std::string notice, many;
  pg::addMessage(notice, 'N', "x");
  for (int i = 0; i < 40; ++i) many += notice;
  REQUIRE(kindsOf(many).back() == '!');
}
