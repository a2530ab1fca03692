#include "http/socketreset.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Lagoonbank::Http::Internal {

bool mayHoldUnsentBytes(int fd)
{
    int unacknowledged = 0;
    return ioctl(fd, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged > 0;
}

void resetOnClose(int fd)
{
    const linger now{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

} // namespace Lagoonbank::Http::Internal
