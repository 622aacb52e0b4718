// Version 3 of PostgreSQL's wire protocol: messages parsed from bytes and written to them. No sockets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace myrtlehead::pg {

// more: not all of it is there yet; whole: it was parsed; bad: it can't be, whatever follows.
enum class Parsed { more, whole, bad };

constexpr std::size_t kMostBytes = 256 * 1024; // of a client's message
// Of an endpoint's row. More than a client's message: stored rows may have been written another way.
constexpr std::size_t kMostRow = 4 * 1024 * 1024;

struct Message {
  char type = 0;
  std::string_view body;
  std::size_t size = 0; // with type and length
};
// The message at the front of `in`, to which its body refers; bad where it is longer than `most` bytes.
Parsed parseMessage(std::string_view in, Message &out, std::size_t most = kMostBytes);

// Of the message at the front, by its length field; 0 while that is not there.
std::size_t announcedSize(std::string_view in);

// The first packet of a connection, which has no type.
enum class Opening { startup, encryption, cancel, unknown };
struct Startup {
  Opening kind = Opening::unknown;
  int minor = 0;        // version of the protocol
  std::size_t size = 0; // with the length
};
Parsed parseStartup(std::string_view in, Startup &out);

// Takes a zero-terminated string off the front; false: there is none.
bool takeText(std::string_view &body, std::string_view &text);

// Checks what an endpoint sends on a connection, message by message, for the one order that answers a
// statement: a RowDescription of one column, one DataRow of one column and CommandComplete, or an
// ErrorResponse, or EmptyQueryResponse; then ReadyForQuery. NoticeResponse and ParameterStatus (aside) may
// come anywhere.
class Reply {
public:
  enum Part { more, aside, description, row, complete, error, ready, empty, bad };
  // The message at the front of `in`; bad as soon as the bytes show that it may not come there.
  Part next(std::string_view in, Message &out);

private:
  enum Expected { anything, rowDue, completeDue, readyDue };
  Part partOf(char type) const;
  Expected after(Part part) const;
  Expected expected_ = anything;
  int asides_ = 0; // since the last ReadyForQuery
};

// The SQLSTATE of an ErrorResponse's body; "" where it has none.
std::string_view errorCode(std::string_view body);

// Each appends one message, addWelcome() and addRow() several, to `out`.
void addMessage(std::string &out, char type, std::string_view body);
void addStartup(std::string &out, std::string_view user, std::string_view database);
void addQuery(std::string &out, std::string_view sql);
// AuthenticationOk, the parameters and BackendKeyData.
void addWelcome(std::string &out, std::uint32_t process, std::uint32_t secret);
void addOldestMinor(std::string &out); // NegotiateProtocolVersion: only 3.0 is spoken
void addReady(std::string &out);       // ReadyForQuery, outside a transaction
void addEmptyAnswer(std::string &out); // EmptyQueryResponse
void addComplete(std::string &out, std::string_view tag);
void addRow(std::string &out, std::string_view column,
            std::string_view value); // described, one column of text

struct Complaint {
  std::string_view severity = "ERROR";
  std::string_view code; // SQLSTATE
  std::string_view message;
  std::string_view detail = {};
};
// ErrorResponse; empty fields are left out.
void addError(std::string &out, const Complaint &complaint);

} // namespace myrtlehead::pg
