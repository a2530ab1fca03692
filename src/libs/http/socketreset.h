#pragma once

namespace Lagoonbank::Http::Internal {

/// Whether the peer may lack bytes that were written to the connection. True if the system does not
/// tell. Takes one system call.
bool mayHoldUnsentBytes(int fd);
/// Makes the close of the socket reset the connection, which drops what the peer lacks.
void resetOnClose(int fd);

} // namespace Lagoonbank::Http::Internal
