// Version 3 of PostgreSQL's wire protocol: messages read from bytes and written to them. No sockets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace myrtlehead::pg {

enum class Parsed { more, whole, bad };

constexpr std::size_t kMostBytes = 256 * 1024; // of a message from a client
constexpr std::size_t kMostRow = 4 * 1024 *
                                 1024; // of an endpoint's row: what is stored may have come another way

struct Message {
  char type = 0;
  std::string_view body;
  std::size_t size = 0; // with its head
};
Parsed parseMessage(std::string_view in, Message &out, std::size_t most = kMostBytes);
std::size_t announcedSize(std::string_view in); // of the message at the front; 0 while its head is not there

// The first packet of a connection, which has no type.
enum class Opening { startup, encryption, cancel, unknown };
struct Startup {
  Opening kind = Opening::unknown;
  int minor = 0;
  std::size_t size = 0;
};
Parsed parseStartup(std::string_view in, Startup &out);

// A text up to its closing zero, taken off the front; nullopt-like: false where there is none.
bool takeText(std::string_view &body, std::string_view &text);

// What an endpoint says on a connection, message by message, in the one order that answers a statement: a
// RowDescription of one column, one DataRow of one column, CommandComplete, or an ErrorResponse; then
// ReadyForQuery. Notices and ParameterStatus may stand anywhere. `bad` as soon as the bytes show it.
class Reply {
public:
  enum Part { more, aside, description, row, complete, error, ready, empty, bad };
  Part next(std::string_view in, Message &out);

private:
  Part part(char type) const;
  enum DueActions { anything, rowDue, completeDue, readyDue } due_ = anything;
  int asides_ = 0;
};

// SQLSTATE of an ErrorResponse; empty where it names none.
std::string_view errorCode(std::string_view body);

void addMessage(std::string &out, char type, std::string_view body);
void addStartup(std::string &out, std::string_view user, std::string_view database);
void addQuery(std::string &out, std::string_view sql);
void addWelcome(std::string &out, std::uint32_t process, std::uint32_t secret);
void addOldestMinor(std::string &out); // NegotiateProtocolVersion: only 3.0 is spoken
void addReady(std::string &out);
void addEmptyAnswer(std::string &out);
void addComplete(std::string &out, std::string_view tag);
void addRow(std::string &out, std::string_view column, std::string_view value);
struct Complaint {
  std::string_view severity = "ERROR", code, message, detail = {};
};
void addError(std::string &out, const Complaint &complaint);

} // namespace myrtlehead::pg
