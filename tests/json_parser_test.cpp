// Tests the JSON parser with valid, truncated and malformed text.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "format/json/json.h"

using namespace myrtlehead;

TEST_CASE("valid JSON is parsed and any other text is rejected") {
  const auto value = json::parse(R"({"a":[1,-2.5e1,true,null],"b":"x\u00e9\ud83d\ude00\n","a2":{}} )");
  REQUIRE(value);
  REQUIRE(value->find("a")->items.size() == 4);
  REQUIRE(value->find("a")->items[1].numberValue == -25);
  REQUIRE(value->find("b")->text == "x\xc3\xa9\xf0\x9f\x98\x80\n");
  REQUIRE(value->find("none") == nullptr);
  const std::string complete = R"({"index":41,"l":[{"n":"s-1","t":true}]})";
  for (std::size_t n = 0; n < complete.size(); ++n)
    REQUIRE(!json::parse(std::string_view(complete).substr(0, n)));
  for (const auto *malformed :
       {"", "{", "{]", "[1,]", "{\"a\":}", "{\"a\" 1}", "01", "1.", "1e", "-", "nul", "\"\\x\"",
        "\"\\ud800\"", "\"\\udc00\"", "\"\x01\"", "1e999", "1 2", "{a:1}", "\"\\u00g0\""})
    REQUIRE(!json::parse(malformed));
  std::string error;
  REQUIRE(!json::parse(std::string(100'000, '['), &error));
  REQUIRE(!error.empty()); // deep nesting is an error and does not exhaust the stack
}
