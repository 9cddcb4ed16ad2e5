#include <StandIns/FaultProxy/FileHandle.h>

#include <unistd.h>

namespace Sapphire {

void FileHandle::close()
{
    if (isOpen()) {
        ::close(m_file);
        m_file = -1;
    }
}

} // namespace Sapphire
