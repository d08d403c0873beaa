#pragma once

#include <chrono>

class QTcpSocket;

namespace lacewingmux {

/**
    Makes a connected socket send small writes at once and notice a peer that fell silent: unread
    or unacknowledged bytes and unanswered probes end the connection after about the time given.
*/
void tuneSocket(QTcpSocket &socket, std::chrono::milliseconds silenceTimeout);

} // namespace lacewingmux
