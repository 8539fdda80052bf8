package org.teaselhook.bench.load;

import java.io.PrintWriter;
import java.io.StringWriter;

import org.testng.annotations.Test;
import picocli.CommandLine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class LoadCommandTest {

    @Test
    public void shouldListCasesWhenCaseIsUnknown() {
        StringWriter errors = new StringWriter();
        CommandLine command = LoadCommand.commandLine().setErr(new PrintWriter(errors));

        assertEquals(command.execute("--case", "stead70"), CommandLine.ExitCode.USAGE);
        assertTrue(errors.toString().contains("no case is named stead70; choose from steady70"), errors.toString());
        assertFalse(errors.toString().contains("\tat "), errors.toString());
    }
}
