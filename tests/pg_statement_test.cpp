// Tests the parsing of client statements: requests, the other kinds, and malformed statements.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "forwarded_query.h"

#include "format/pg/message.h"
#include "format/pg/statement.h"

using namespace myrtlehead;

// Guards against comments whose many fields cost more work than the request.
TEST_CASE("a comment has at most 64 fields") {
  const auto statement = [](int otherFields) {
    std::string comment;
    for (int i = 0; i < otherFields; ++i) comment += "x=1,";
    return "SELECT v FROM records WHERE k = '7f' /* " + comment + "id=1,c=read,d=5 */";
  };
  REQUIRE(pg::parseStatement(statement(61)).kind == pg::Statement::request);
  REQUIRE(pg::parseStatement(statement(62)).kind == pg::Statement::malformed);
}

// Invalid bytes are found at every distance from the front, whatever the number of bytes looked at together.
TEST_CASE("an invalid byte behind any number of ASCII characters makes a statement malformed") {
  for (std::size_t n = 0; n < 40; ++n) {
    const auto valid = std::string(n, 'a') + "\xc3\xa4";
    const auto statement = [](const std::string &key) {
      return "SELECT v FROM records WHERE k = '" + key + "' /* id=1,c=read,d=5 */";
    };
    REQUIRE(pg::parseStatement(statement(valid)).kind == pg::Statement::request);
    REQUIRE(pg::parseStatement(statement(std::string(n, 'a') + "\xff")).kind == pg::Statement::malformed);
    REQUIRE(pg::parseStatement(statement(std::string(n, 'a') + "\xc3")).kind == pg::Statement::malformed);
  }
}

TEST_CASE("a request is parsed together with the fields of its comment") {
  const std::string sql = "SELECT v FROM records WHERE k = '7f3a9c21e0b4d655' /* id=9b1f,c=basket,d=480 */";
  const auto s = pg::parseStatement(sql);
  REQUIRE(s.kind == pg::Statement::request);
  REQUIRE(s.id == "9b1f");
  REQUIRE(s.route == "basket");
  REQUIRE(s.timeoutMs == 480);
  REQUIRE(s.rowKeyNumber == 0x7f3a9c21e0b4d655);
  REQUIRE(!s.isRetry);
  std::string expected;
  pg::addQuery(expected, "SELECT v FROM records WHERE k = '7f3a9c21e0b4d655' /* id=9b1f,c=basket,d=37 */");
  REQUIRE(forwardedQuery(s, 37) == expected);
  const auto retry = pg::parseStatement("insert into records (k, v) values ('a;b''c', '\\x9f') returning v; "
                                        "/* id=1,c=order,d=9,k=5c,r=1,h=300 */ ; ");
  REQUIRE(retry.kind == pg::Statement::request);
  REQUIRE(retry.isRetry);
  REQUIRE(retry.rowKey == "a;b''c");
  for (std::size_t n = 0; n < sql.size(); ++n) // a truncated request is never forwarded
    REQUIRE(pg::parseStatement(std::string_view(sql).substr(0, n)).kind != pg::Statement::request);
}

TEST_CASE("session, ping and empty statements are recognized, and all others are malformed") {
  const auto kind = [](std::string_view sql) { return pg::parseStatement(sql).kind; };
  REQUIRE(kind("") == pg::Statement::empty);
  REQUIRE(kind(" ; /* c */ -- x\n;") == pg::Statement::empty);
  REQUIRE(kind("set application_name = 'x'") == pg::Statement::session);
  REQUIRE(kind("DISCARD ALL;") == pg::Statement::session);
  REQUIRE(kind("select  1 ;") == pg::Statement::ping);
  for (const auto *statement : {"SELECT v FROM records WHERE k = '7f' /* id=a b,c=a,d=4 */",
                                "SELECT v FROM records WHERE k = '7f' /* id=1,c=a,d=4,k= */",
                                "SELECT v FROM records /* id=1,c=a,d=4 */",
                                "SELECT v FROM records WHERE k = 7 /* id=1,c=a,d=4 */",
                                "SELECT v FROM records WHERE k = '7f' OR 1 /* id=1,c=a,d=4 */",
                                "SELECT v FROM records WHERE k = '7f' /* a */ /* id=1,c=a,d=4 */",
                                "INSERT INTO records (k, v) VALUES ('a') RETURNING v /* id=1,c=a,d=4 */",
                                "BEGIN",
                                "SELECT 1; SELECT 2",
                                "SELECT 'a",
                                "SELECT 1 /* id=1,c=a,d=5",
                                "SELECT v /* id=1,c=a */",
                                "SELECT v /* id=1,c=a,d=x */",
                                "SELECT v /* id=1,c=a,d=-4 */",
                                "SELECT v /* id=,c=a,d=4 */",
                                "SELECT v /* id=1,c=a,d=4,d=5 */",
                                "SELECT v /* id=1,c=a,d=99999999999999999999 */",
                                "SELECT v /* id=1,,c=a,d=4 */",
                                "SELECT v FROM records",
                                "SELECT '\xff' /* id=1,c=a,d=4 */",
                                "SELECT '\xed\xa0\x80' /* id=1,c=a,d=4 */",
                                "SELECT v /* id=1,c=a,d=4 */; DELETE FROM records",
                                "SETTING",
                                "SELECT '/* id=1,c=a,d=4 */'"})
    REQUIRE(kind(statement) == pg::Statement::malformed);
}
