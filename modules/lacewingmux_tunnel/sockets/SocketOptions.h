#pragma once

#include <chrono>

class QTcpSocket;

namespace lacewingmux {

/**
    Disables Nagle's algorithm on a connected socket and detects an unresponsive peer: the
    connection ends when sent bytes stay unread or unacknowledged, or keep-alive probes
    unanswered, for about the given time.
*/
void configureSocket(QTcpSocket &socket, std::chrono::milliseconds unresponsiveTimeout);

/** Ends the connection when sent bytes stay unread or unacknowledged for the given time; 0 removes
    the limit. */
void limitUnacknowledgedTime(QTcpSocket &socket, std::chrono::milliseconds limit);

} // namespace lacewingmux
