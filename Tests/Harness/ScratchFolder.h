#pragma once

#include <LibCore/Result.h>

#include <filesystem>
#include <memory>
#include <string>

namespace Sapphire {

/// A temporary folder for the files of one test. The destructor removes it with its content.
class ScratchFolder
{
public:
    /// Creates a new folder in the system's folder for temporary files. Fails with Internal.
    [[nodiscard]] static Result<std::unique_ptr<ScratchFolder>> create(const std::string &name);
    ~ScratchFolder();
    ScratchFolder(const ScratchFolder &) = delete;
    ScratchFolder &operator=(const ScratchFolder &) = delete;

    const std::filesystem::path &path() const;
    /// Keeps the folder after the end, so that the logs of a failed test can be read.
    void keep();
    /// Writes a file in the folder and returns its path. Fails with Internal.
    [[nodiscard]] Result<std::filesystem::path> write(const std::string &name, const std::string &content) const;

private:
    explicit ScratchFolder(std::filesystem::path path);

    std::filesystem::path m_path;
    bool m_isKept { false };
};

/// Returns the content of a file, empty if it cannot be read.
std::string readFile(const std::filesystem::path &path);

} // namespace Sapphire
