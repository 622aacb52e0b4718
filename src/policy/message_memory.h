// Decides how much memory a large message takes while it is received, how long a client's message waits for
// memory, and when a message or an answer gives its memory up for others. No I/O; time is an argument.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace myrtlehead::message_memory {

using Nanoseconds = std::int64_t;

// Messages and buffers up to this size take no memory of the budget for large messages.
constexpr std::size_t kSmallMessageBytes = 16 * 1024;

// A buffer that is larger is made smaller once its content fits, as after a message or while one is
// discarded.
constexpr std::size_t kIdleBufferBytes = 4 * 1024;

// Returns the size of the buffer for a message of `announcedBytes` of which `arrivedBytes` have arrived. It
// exceeds kSmallMessageBytes only if that many bytes are about to be needed, so that a client takes no memory
// for a message that it announces and does not send.
std::size_t bufferBytes(std::size_t announcedBytes, std::size_t arrivedBytes);
// The same for a message of a client. Many clients may wait for memory at once, each with what has arrived,
// so that less of a message arrives before the wait.
std::size_t clientBufferBytes(std::size_t announcedBytes, std::size_t arrivedBytes);

// Whether so much of the memory that the process may have is resident that its operators are warned.
bool isShort(std::size_t residentBytes, std::size_t limitBytes);

// Returns how long a message may wait for memory before it is refused. Its client's timeout stands at the end
// of the message and is not known yet, so the wait is a part of the shortest timeout of any route.
Nanoseconds maxWait(std::span<const Nanoseconds> routeTimeouts);

// Returns from when on a message that has held memory since `heldSince`, and has not arrived completely, may
// lose it to another message.
Nanoseconds reclaimableAt(Nanoseconds heldSince);

// Returns from when on an answer of which its client has read nothing since `stalledSince` may lose its
// memory to another answer, and its connection with it. The others' clients wait no longer than for any
// memory.
Nanoseconds answerReclaimableAt(Nanoseconds stalledSince, std::span<const Nanoseconds> routeTimeouts);

} // namespace myrtlehead::message_memory
