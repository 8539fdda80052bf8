package org.teaselhook.app.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.teaselhook.core.rules.RuleFault;
import org.teaselhook.core.rules.RulesParser;

/**
 * A rules file on the operator's machine.
 */
final class RulesFile {

    private final Path path;
    private final Output output;

    RulesFile(Path path, Output output) {
        this.path = path;
        this.output = output;
    }

    /** Passes the text on if the file can be read and every line is valid; prints the faults otherwise. */
    ExitCode ifValid(Function<String, ExitCode> next) {
        Optional<String> text = read();
        if (text.isEmpty()) {
            return ExitCode.FAILED;
        }
        return isValid(text.get()) ? next.apply(text.get()) : ExitCode.BAD_RULES;
    }

    private Optional<String> read() {
        try {
            return Optional.of(Files.readString(path));
        } catch (IOException e) {
            output.failure(
                    ExitCode.FAILED, path + " cannot be read: " + e, "give the path of a readable file in UTF-8");
            return Optional.empty();
        }
    }

    private boolean isValid(String text) {
        List<RuleFault> faults = RulesParser.parse(text).fold(rules -> List.of(), found -> found);
        if (faults.isEmpty()) {
            return true;
        }
        if (output.isJson()) {
            output.print(document(faults));
        } else {
            faults.forEach(fault -> output.err().println(path + ": " + fault.message()));
            output.err().println(faults.size() + " fault(s); nothing was changed");
        }
        return false;
    }

    private static ObjectNode document(List<RuleFault> faults) {
        ObjectNode document = Output.object().put("outcome", ExitCode.BAD_RULES.name());
        ArrayNode list = document.putArray("faults");
        faults.forEach(fault -> list.addObject()
                .put("line", fault.line())
                .put("reason", fault.reason())
                .put("remedy", fault.remedy()));
        return document;
    }
}
