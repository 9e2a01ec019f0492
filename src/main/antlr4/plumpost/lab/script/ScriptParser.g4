/** Grammar of the scenario language: steps of named peers, on their own or grouped in named cases. */
parser grammar ScriptParser;

options { tokenVocab = ScriptLexer; }

script : line* example* EOF ;

example : CASE STRING (COVERS topic+)? (ON NAME)? (EACH NAME IN topic+)? end line* ;

topic : NAME | STRING ;

line : step? NL | step EOF ;

step
    : NAME SEND TEXT                        # say
    | NAME EXPECT TEXT                      # hear
    | NAME CLOSE                            # hangUp
    | NAME WAIT NUMBER?                     # hold
    | WAIT NUMBER                           # pass
    | REPEAT NUMBER OPEN NL line* SHUT      # again
    ;

end : NL | EOF ;
