#include <Harness/ScratchFolder.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

#include <stdlib.h>

namespace Sapphire {

ScratchFolder::ScratchFolder(std::filesystem::path path) : m_path(std::move(path))
{
}

Result<std::unique_ptr<ScratchFolder>> ScratchFolder::create(const std::string &name)
{
    std::error_code error;
    std::string pattern = (std::filesystem::temp_directory_path(error) / (name + "-XXXXXX")).string();
    if (error || ::mkdtemp(pattern.data()) == nullptr) {
        return fail(ErrorCode::Internal, "cannot create the folder " + pattern + ": " + std::strerror(errno));
    }
    return std::unique_ptr<ScratchFolder>(new ScratchFolder(pattern));
}

ScratchFolder::~ScratchFolder()
{
    if (!m_isKept) {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
}

const std::filesystem::path &ScratchFolder::path() const
{
    return m_path;
}

void ScratchFolder::keep()
{
    m_isKept = true;
}

Result<std::filesystem::path> ScratchFolder::write(const std::string &name, const std::string &content) const
{
    std::filesystem::path path = m_path / name;
    std::ofstream file(path, std::ios::binary);
    file << content;
    file.close();
    if (!file) {
        return fail(ErrorCode::Internal, "cannot write " + path.string());
    }
    return path;
}

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

} // namespace Sapphire
